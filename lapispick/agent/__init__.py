"""The processes of a staged rollout: the agent of each host, and the controller with its store of rollouts."""
