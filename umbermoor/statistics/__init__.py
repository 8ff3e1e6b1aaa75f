"""The ground under front and gateway: what both share and what knows neither of them."""
