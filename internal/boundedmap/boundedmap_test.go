package boundedmap_test

import (
	"testing"

	"junipershelf/internal/boundedmap"
)

// Entries are dropped by halves, the older ones first, and each drop is reported.
func TestOlderHalfIsDroppedFirst(t *testing.T) {
	drops := 0
	m := boundedmap.New[int, string](8, func() { drops++ })
	for key := range 8 {
		m.Put(key, "value")
	}
	if drops != 0 {
		t.Errorf("%d drops from a map that was never full", drops)
	}
	m.Put(8, "value")
	if drops != 1 {
		t.Errorf("%d drops after one entry more than fits", drops)
	}
	for key := range 9 {
		if _, ok := m.Get(key); ok != (key >= 4) {
			t.Errorf("entry %d: held %v", key, ok)
		}
	}
}

// An entry that was dropped can be put again.
func TestDroppedEntryCanBePutAgain(t *testing.T) {
	m := boundedmap.New[int, string](2, func() {})
	for key := range 3 {
		m.Put(key, "first")
	}
	if _, ok := m.Get(0); ok {
		t.Fatal("the oldest entry is still held")
	}
	m.Put(0, "second")
	if value, ok := m.Get(0); !ok || value != "second" {
		t.Errorf("held %v with value %q", ok, value)
	}
}
