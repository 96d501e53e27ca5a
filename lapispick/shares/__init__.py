"""Assignment of backends to worker hosts. Each host computes the same assignment from the same lists."""
