"""What decides about interference: its model, the speed of fillers, and placement beside services.

`coefficients` holds the estimator that the models of both kinds of roles share. The product's own
roles measure slowdowns: `slowdowns`, `sampled_placement` and `reaction_stages`. The edge role
measures latencies against targets: `headroom`, `latency_model`, `speeds`, `filler_placement`,
`rebalancing` and `vacating`.
"""
