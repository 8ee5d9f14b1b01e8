package statestore

// YieldTimeout is how long a call of PriorityBackground lets waiting calls go first at most.
const YieldTimeout = yieldTimeout
