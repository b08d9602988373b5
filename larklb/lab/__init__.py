"""Simulations, stand-ins and experiments: run, demonstrate and measure the program on one machine."""
