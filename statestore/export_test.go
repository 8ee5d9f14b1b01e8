package statestore

// YieldTimeout is the longest that a call of PriorityBackground lets others go first.
const YieldTimeout = yieldTimeout
