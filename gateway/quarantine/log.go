package quarantine

import (
	"slices"

	"k8s.io/klog/v2"

	"cardamompoint.example/cardamompoint/gateway/traffic"
	"cardamompoint.example/cardamompoint/internal/clock"
)

// logChanges writes one line for each quarantine that is new and for each that is lifted.
func logChanges(before, after []Quarantine, now clock.Boot) {
	for _, q := range after {
		if !containsParts(before, q.Parts) {
			klog.InfoS("crash: prompt parts are quarantined", "parts", traffic.FormatPartIDs(q.Parts), "crashes", q.Crashes, "for_ms", q.Until.Sub(now).Milliseconds())
		}
	}
	for _, q := range before {
		if !containsParts(after, q.Parts) {
			klog.InfoS("crash: prompt parts are released", "parts", traffic.FormatPartIDs(q.Parts), "crashes", q.Crashes)
		}
	}
}

// containsParts reports whether one of the quarantines has the given parts.
func containsParts(list []Quarantine, parts []uint64) bool {
	return slices.ContainsFunc(list, func(q Quarantine) bool { return slices.Equal(q.Parts, parts) })
}

// logHeld writes one line for each request that is held back anew or for longer.
func logHeld(before, after []Quarantine, now clock.Boot) {
	for _, q := range after {
		known := slices.ContainsFunc(before, func(old Quarantine) bool { return slices.Equal(old.Parts, q.Parts) && old.Crashes >= q.Crashes })
		if !known && now < q.Until {
			klog.InfoS("crash: a request is held back", "parts", traffic.FormatPartIDs(q.Parts), "crashes", q.Crashes, "for_ms", q.Until.Sub(now).Milliseconds())
		}
	}
}
