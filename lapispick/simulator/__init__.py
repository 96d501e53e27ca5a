"""The adapter that plays the decision module on the simulator's wire."""
