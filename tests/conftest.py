"""Settings that apply to all tests."""

import hypothesis

# No deadline: examples are small, but on a busy machine one that takes 7 ms took
# 368 ms, beside six days of the bench.
hypothesis.settings.register_profile("project", deadline=None)
hypothesis.settings.load_profile("project")
