"""Settings of all tests."""

import hypothesis

# Examples are small. The time limit that hypothesis sets for each of them fails on a
# busy machine: 368 ms for an example that takes 7 ms, beside six days of the bench.
hypothesis.settings.register_profile("project", deadline=None)
hypothesis.settings.load_profile("project")
