"""Time as this process and others see it, waiting, and troubles that last."""
