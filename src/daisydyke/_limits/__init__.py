"""Backend server limits: ownership, sessions, fencing and gates."""
