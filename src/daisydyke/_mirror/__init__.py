"""Local copies of the objects in the platform store."""
