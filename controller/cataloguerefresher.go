package controller

import (
	"context"
	"log/slog"
	"time"

	"junipershelf/cloud"
	"junipershelf/internal/ctxtime"
	"junipershelf/protocol"
	"junipershelf/statestore"
)

// catalogueKey is the key of the copy of the machine types in the key-value store. Without the copy, a
// node that starts while the cloud is down would not know the machine types' resources, and could
// neither accept jobs nor place tasks.
const catalogueKey = "catalogue"

const (
	catalogueInterval   = time.Minute // between refreshes, which also read changed prices
	catalogueRetryDelay = time.Second
)

// catalogueRefresher keeps the catalogue, and its copy in the key-value store, up to date from the
// cloud. It is stateless.
type catalogueRefresher struct {
	catalogue *catalogue
	state     *nodeState
	cloud     *cloud.Client
	store     *statestore.Client
	failures  *failureLogger
	log       *slog.Logger
}

func newCatalogueRefresher(shared *sharedComponents) *catalogueRefresher {
	return &catalogueRefresher{
		catalogue: shared.catalogue,
		state:     shared.state,
		cloud:     shared.cloud,
		store:     shared.store,
		failures:  shared.failures,
		log:       shared.log,
	}
}

// run reads the machine types at intervals until the context is cancelled.
func (r *catalogueRefresher) run(ctx context.Context) {
	for pause := time.Duration(0); ctxtime.Sleep(ctx, pause); {
		pause = r.refresh(ctx)
	}
}

// refresh reads the machine types from the cloud. If that fails and no types are known yet, it reads
// the copy in the key-value store. It returns the delay until the next refresh.
func (r *catalogueRefresher) refresh(ctx context.Context) time.Duration {
	types, err := r.cloud.MachineTypes(ctx)
	if err != nil || len(types) == 0 {
		r.log.Debug("machine types could not be read from the cloud", "err", err)
		if r.catalogue.empty() {
			r.loadCopy(ctx)
		}
		return catalogueRetryDelay
	}
	if r.apply(types) {
		r.storeCopy(ctx, types)
	}
	return catalogueInterval
}

// apply replaces the machine types. It reports whether any of them is new, or has changed in
// anything except its prices.
func (r *catalogueRefresher) apply(types []protocol.MachineType) (changed bool) {
	r.state.mu.Lock()
	defer r.state.mu.Unlock()
	r.state.leader.autoscaler.Catalogue = types
	return r.catalogue.set(types)
}

// storeCopy writes the catalogue to the key-value store. The write needs no guard, since all nodes
// write the same value. A catalogue that is too large for a value is not written.
func (r *catalogueRefresher) storeCopy(ctx context.Context, types []protocol.MachineType) {
	var t protocol.Transaction
	err := t.Put(catalogueKey, protocol.Catalogue{MachineTypes: types})
	if err != nil || len(t.Changes[0].Data) >= r.store.ValueByteLimit() {
		return
	}
	if _, err := r.store.Commit(ctx, statestore.PriorityBackground, t); err != nil {
		r.log.Debug("catalogue could not be stored", "err", err)
	}
}

// loadCopy reads the copy of the catalogue from the key-value store.
func (r *catalogueRefresher) loadCopy(ctx context.Context) {
	entry, err := r.store.Get(ctx, statestore.PriorityMembership, catalogueKey)
	if err != nil || entry.Revision == 0 {
		return
	}
	var stored protocol.Catalogue
	if err := protocol.DecodeRecord(catalogueKey, entry.Data, &stored); err != nil {
		r.failures.logFailure("stored catalogue could not be decoded", err)
		return
	}
	r.apply(stored.MachineTypes)
	r.log.Info("catalogue read from the key-value store")
}
