"""Command line for operators, `wagtailrillctl`."""
