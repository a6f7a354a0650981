"""The router: places requests of callers and forwards them to sidecars."""
