package news

import (
	"math"

	"cardamompoint.example/cardamompoint/code"
)

// format begins each datagram; a VM leaves out datagrams of another format.
const format = 3

// The bounds of what a report may tell.
const (
	mostMembers  = 64
	mostPulses   = 256
	mostEntries  = 8192
	mostRequests = 1 << 20
	mostTokens   = 1 << 40
	longestAgeMS = 1 << 40
)

// encoder packs reports. It is not safe for concurrent use.
type encoder struct {
	writer wireWriter
}

func newEncoder() *encoder {
	return &encoder{writer: wireWriter{names: map[string]uint64{}}}
}

// encode returns a datagram. It is valid until the next call.
func (e *encoder) encode(report *Report) []byte {
	w := &e.writer
	w.reset()
	w.datagram = append(w.datagram, format)
	w.name(report.Address)
	w.number(report.Incarnation)
	w.number(report.Sequence)
	w.name(report.FailureDomain)
	w.number(int64(report.Capacity))
	w.number(int64(report.KnownVMs))
	w.flags(report.Leaving, report.HasPartLocations, report.MembershipOnly, report.StoreLost)
	w.number(report.ConfigVersion)
	w.number(report.NewestRevision)
	w.number(report.AgeMS)
	e.encodeMembers(report)
	e.encodeEndpoints(report)
	return w.datagram
}

// encodeMembers packs what the report tells of other VMs.
func (e *encoder) encodeMembers(report *Report) {
	w := &e.writer
	w.count(len(report.Members))
	for _, address := range report.Members {
		w.name(address)
	}
	w.count(len(report.Heartbeats))
	for i := range report.Heartbeats {
		pulse := &report.Heartbeats[i]
		w.name(pulse.Address)
		w.number(pulse.Incarnation - report.Incarnation)
		w.number(pulse.AgeMS)
		w.name(pulse.FailureDomain)
		w.number(int64(pulse.Capacity))
		w.flags(pulse.HasPartLocations, pulse.CanLead)
	}
}

// encodeEndpoints packs what the report tells of endpoints.
func (e *encoder) encodeEndpoints(report *Report) {
	w := &e.writer
	w.count(len(report.EndpointLoads))
	for _, told := range report.EndpointLoads {
		w.name(told.Endpoint)
		w.number(int64(told.Requests))
		w.number(told.AgeMS)
	}
	w.count(len(report.Work))
	for _, work := range report.Work {
		w.name(work.Endpoint)
		w.number(int64(work.Requests))
		w.number(int64(work.PrefillTokens))
	}
	w.places(report.PartLocations)
	w.count(len(report.FailureRates))
	for _, fault := range report.FailureRates {
		w.name(fault.Endpoint)
		w.number(int64(fault.Percent))
	}
}

// decoder unpacks reports. It is not safe for concurrent use.
type decoder struct {
	reader wireReader
}

func newDecoder() *decoder {
	return &decoder{reader: wireReader{interned: map[string]string{}}}
}

// decode returns the report of a datagram. Errors, which carry code.InvalidDocument, mean
// that it is cut, of another format, or tells what no VM would.
func (d *decoder) decode(datagram []byte) (Report, error) {
	if len(datagram) == 0 || datagram[0] != format {
		return Report{}, code.New(code.InvalidDocument, "a report has another format")
	}
	r := &d.reader
	r.reset(datagram[1:])
	var report Report
	report.Address = r.name()
	report.Incarnation = r.number()
	report.Sequence = r.within(0, math.MaxInt64)
	report.FailureDomain = r.name()
	report.Capacity = int(r.within(0, mostRequests))
	report.KnownVMs = int(r.within(0, memberLimit))
	r.flags(&report.Leaving, &report.HasPartLocations, &report.MembershipOnly, &report.StoreLost)
	report.ConfigVersion = r.within(0, math.MaxInt64)
	report.NewestRevision = r.within(0, math.MaxInt64)
	report.AgeMS = r.within(-1, math.MaxInt64)
	d.decodeMembers(&report)
	d.decodeEndpoints(&report)
	if err := r.end(); err != nil {
		return Report{}, err
	}
	return report, nil
}

func (d *decoder) decodeMembers(report *Report) {
	r := &d.reader
	report.Members = makeList[string](r.entries(mostMembers))
	for i := range report.Members {
		report.Members[i] = r.name()
	}
	report.Heartbeats = makeList[Heartbeat](r.entries(mostPulses))
	for i := range report.Heartbeats {
		pulse := &report.Heartbeats[i]
		pulse.Address = r.name()
		pulse.Incarnation = report.Incarnation + r.number()
		pulse.AgeMS = r.within(0, longestAgeMS)
		pulse.FailureDomain = r.name()
		pulse.Capacity = int(r.within(0, mostRequests))
		r.flags(&pulse.HasPartLocations, &pulse.CanLead)
	}
}

func (d *decoder) decodeEndpoints(report *Report) {
	r := &d.reader
	report.EndpointLoads = makeList[EndpointLoad](r.entries(mostEntries))
	for i := range report.EndpointLoads {
		report.EndpointLoads[i] = EndpointLoad{Endpoint: r.name(), Requests: int(r.within(0, mostRequests)), AgeMS: r.within(0, longestAgeMS)}
	}
	report.Work = makeList[EndpointWork](r.entries(mostEntries))
	for i := range report.Work {
		report.Work[i] = EndpointWork{Endpoint: r.name(), Requests: int(r.within(0, mostRequests)), PrefillTokens: int(r.within(0, mostTokens))}
	}
	report.PartLocations = r.places(mostEntries)
	report.FailureRates = makeList[FailureRate](r.entries(mostEntries))
	for i := range report.FailureRates {
		report.FailureRates[i] = FailureRate{Endpoint: r.name(), Percent: int(r.within(0, 100))}
	}
}

// makeList returns a list of the given size, nil if it is empty.
func makeList[T any](size int) []T {
	if size == 0 {
		return nil
	}
	return make([]T, size)
}
