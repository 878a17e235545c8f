"""Choice of a backend server and ejection of outliers."""
