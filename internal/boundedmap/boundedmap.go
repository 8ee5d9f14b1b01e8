// Package boundedmap provides a map of bounded size that evicts its oldest entries.
package boundedmap

// Map keeps the most recently put entries, in two generations of half its size each. When the current
// generation is full, the previous one is evicted. Thus half of the entries are evicted at a time, and the
// order of individual entries need not be tracked.
//
// It is not safe for concurrent use.
type Map[K comparable, V any] struct {
	generationSize    int
	onEvict           func()
	current, previous map[K]V
}

// New creates a map of at most limit entries; limit must be at least 2. The map calls onEvict each time
// that it evicts a generation.
func New[K comparable, V any](limit int, onEvict func()) *Map[K, V] {
	return &Map[K, V]{generationSize: limit / 2, onEvict: onEvict, current: map[K]V{}}
}

// Get returns the value of a key, and whether the map has the key.
func (m *Map[K, V]) Get(key K) (value V, ok bool) {
	if value, ok = m.current[key]; !ok {
		value, ok = m.previous[key]
	}
	return value, ok
}

// Put sets the value of a key.
func (m *Map[K, V]) Put(key K, value V) {
	if len(m.current) >= m.generationSize {
		if len(m.previous) > 0 {
			m.onEvict()
		}
		m.previous, m.current = m.current, map[K]V{}
	}
	m.current[key] = value
}
