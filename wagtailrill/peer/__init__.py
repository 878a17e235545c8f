"""Messages between the instances of a deployment: framing, codecs and transport."""
