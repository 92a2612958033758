"""The leader's counters: tenants' quotas, retry budgets and warm-up budgets over all ingresses."""
