"""The processes of a staged rollout: a host's agent, and the controller with its store of rollouts."""
