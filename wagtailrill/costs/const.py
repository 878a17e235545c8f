"""Constants of the cost estimates."""

from typing import Final

# Work of a request of a service of which nothing is known, and the spread of its
# logarithm.
WORK_INITIAL_S: Final = 0.15
LOG_SPREAD_INITIAL: Final = 0.5
WORK_MIN_S: Final = 1e-4
WORK_MAX_S: Final = 600.0
# A level with this weight counts as much as all levels above it.
SHRINKAGE_WEIGHT: Final = 8.0
# Bounds the observations that a cell remembers, so that it follows a change of a
# service's work within about as many requests.
WEIGHT_MAX: Final = 128.0
# What was observed minutes ago says little about a service under other load.
WEIGHT_DECAY_S: Final = 60.0
# Work beyond this ratio of the typical one is a fault of a server rather than a
# property of the request; tails of some 7 times are within it.
OUTLIER_RATIO: Final = 20.0
# Weight from which a cell limits outliers; with less, the typical work is not known.
OUTLIER_WEIGHT_MIN: Final = 8.0
# Weight of a request in the error of the estimates, for the metrics.
ERROR_WEIGHT: Final = 0.02
# A told estimate counts as at most this many observations, so that own observations
# soon outweigh it.
TOLD_WEIGHT_MAX: Final = 16.0
# An estimate is used again for this long, or until so many more requests have ended; it
# saves processor time at hundreds of requests per second.
ESTIMATE_KEPT_S: Final = 0.05
ESTIMATE_KEPT_REQUESTS: Final = 8
# Size classes of bodies double; smaller bodies hardly matter to the work.
SMALLEST_BODY_BITS: Final = 9
LARGEST_BODY_BITS: Final = 32
# Each cell takes some 300 bytes.
ROUTES_MAX: Final = 64
SIZE_CLASSES_MAX: Final = 256
KEYS_MAX: Final = 1_024
