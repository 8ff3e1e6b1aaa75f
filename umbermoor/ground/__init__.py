"""What the front in service and the gateway share; knows neither."""
