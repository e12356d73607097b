"""Load generation, histograms and policy experiments."""
