package boundedmap_test

import (
	"testing"

	"junipershelf/internal/boundedmap"
)

// The older half of the entries is evicted first, and each eviction is reported.
func TestOlderHalfIsEvictedFirst(t *testing.T) {
	evictions := 0
	m := boundedmap.New[int, string](8, func() { evictions++ })
	for key := range 8 {
		m.Put(key, "value")
	}
	if evictions != 0 {
		t.Errorf("%d evictions from a map that never exceeded its limit, want none", evictions)
	}
	m.Put(8, "value")
	if evictions != 1 {
		t.Errorf("%d evictions after one entry beyond the limit, want 1", evictions)
	}
	for key := range 9 {
		if _, ok := m.Get(key); ok != (key >= 4) {
			t.Errorf("entry %d: present %v, want %v", key, ok, key >= 4)
		}
	}
}

func TestEvictedEntryCanBePutAgain(t *testing.T) {
	m := boundedmap.New[int, string](2, func() {})
	for key := range 3 {
		m.Put(key, "first")
	}
	if _, ok := m.Get(0); ok {
		t.Fatal("the oldest entry is still present")
	}
	m.Put(0, "second")
	if value, ok := m.Get(0); !ok || value != "second" {
		t.Errorf("the entry that was put again: present %v with value %q, want \"second\"", ok, value)
	}
}
