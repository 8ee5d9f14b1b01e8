package main

// scenarios returns the cases by name.
func scenarios() map[string]scenario {
	return map[string]scenario{"failed-once": failedOnce(), "cut-leader": cutLeader(), "deaf": deaf()}
}
