"""Parts that all decision code shares: context, timers, events, commands, refusals."""
