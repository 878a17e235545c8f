"""Load generator with an open-loop arrival process, `wagtailrill-load`."""
