package steering

import (
	"maps"
	"time"
)

// restoredHoldTime is how long failure domains that were out stay out after the store was
// restored from a copy that lacks their entries. Operators write these again.
const restoredHoldTime = 2 * time.Second

// heldDomains is the failure domains that stay out after the store was restored.
type heldDomains struct {
	out   map[string]bool
	until time.Time
	// stored is the domains that are out according to the store.
	stored map[string]bool
}

// hold keeps domains out for restoredHoldTime.
func (h *heldDomains) hold(now time.Time, out map[string]bool) {
	h.out, h.until = out, now.Add(restoredHoldTime)
}

// isActive reports whether operators may not have written their entries again yet.
func (h *heldDomains) isActive(now time.Time) bool { return now.Before(h.until) }

// merge returns the domains that are out according to the store, and the held ones.
func (h *heldDomains) merge(now time.Time, stored map[string]bool) map[string]bool {
	h.stored = stored
	if !h.isActive(now) {
		return stored
	}
	merged := make(map[string]bool, len(h.out)+len(stored))
	maps.Copy(merged, h.out)
	maps.Copy(merged, stored)
	return merged
}

// releaseHeldDomains puts the store's domains into force once the hold has ended.
func (b *Balancer) releaseHeldDomains(now time.Time) {
	h := &b.config.held
	if h.out == nil || h.isActive(now) {
		return
	}
	h.out = nil
	if !maps.Equal(b.config.state.DomainsOut, h.stored) {
		b.config.state.DomainsOut = h.stored
		b.announceChange(now)
	}
}
