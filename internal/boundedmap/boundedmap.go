// Package boundedmap has a map of bounded size that drops the entries that were put first.
package boundedmap

// Map holds the entries that were put last, in two generations of half its size each. When the
// current generation is full, the one before it is dropped. So entries go by halves and not all at
// once, and no order of single entries is kept.
//
// It has no lock: its owner guards it.
type Map[K comparable, V any] struct {
	generationSize    int
	onDrop            func()
	current, previous map[K]V
}

// New makes a map of at most limit entries, which is at least 2. It calls onDrop each time that it
// drops entries.
func New[K comparable, V any](limit int, onDrop func()) *Map[K, V] {
	return &Map[K, V]{generationSize: limit / 2, onDrop: onDrop, current: map[K]V{}}
}

// Get returns the value of a key, and whether the map holds it.
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
			m.onDrop()
		}
		m.previous, m.current = m.current, map[K]V{}
	}
	m.current[key] = value
}
