package controller

import (
	"context"
	"fmt"
	"testing"
	"time"
)

// A status read beyond the limit is refused immediately, while the others wait for their confirmation.
func TestStatusReadBeyondLimitIsUnavailable(t *testing.T) {
	const limit = 3
	refused := 0
	confirmer := newStatusConfirmer(nil, nil, limit, func() { refused++ })
	ctx, stop := context.WithCancel(context.Background())
	results := make(chan confirmation, limit)
	for i := range limit {
		go func() { results <- confirmer.confirm(ctx, fmt.Sprintf("wk-%d", i)) }()
	}
	for len(confirmer.waiting) < limit {
		time.Sleep(time.Millisecond)
	}
	if result := confirmer.confirm(context.Background(), "wk-9"); result != confirmationUnavailable || refused != 1 {
		t.Errorf("confirmation %v, limit reached %d times; want confirmationUnavailable, once", result, refused)
	}
	stop()
	for range limit {
		<-results
	}
}
