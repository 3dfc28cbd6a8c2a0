"""Decides what waits and what is refused when there is too little available capacity."""
