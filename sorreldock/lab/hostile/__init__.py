"""An experiment with hostile clients and poor servers around one real router process."""
