"""Stand-ins and experiments: what lets the program run, be tried and be measured on one machine."""
