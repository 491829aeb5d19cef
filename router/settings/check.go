package settings

import (
	"fmt"
	"net/netip"

	"cardamompoint.example/cardamompoint/code"
)

// Check validates the settings of a router and returns the first error, or nil. It
// reads no file.
func Check(router *Router) error {
	if err := checkNames(router); err != nil {
		return err
	}
	if err := checkAddresses(router); err != nil {
		return err
	}
	if err := checkLimits(&router.Limits); err != nil {
		return err
	}
	return checkTiming(&router.Timing)
}

// invalid returns an InvalidSettings error for the field at path.
func invalid(path, format string, args ...any) error {
	return code.New(code.InvalidSettings, format, args...).At(path)
}

// checkNames checks that the required names are present.
func checkNames(router *Router) error {
	if router.Name == "" {
		return invalid("$.name", "the name is missing")
	}
	if router.FailureDomain == "" {
		return invalid("$.failure_domain", "the failure domain is missing")
	}
	if router.SecretFile == "" {
		return invalid("$.secret_file", "the path of the secret file is missing")
	}
	return nil
}

// checkAddresses checks that all addresses are valid and that none is used twice.
func checkAddresses(router *Router) error {
	seen := map[string]string{}
	listens := []struct{ path, address string }{
		{"$.callers", router.Callers},
		{"$.peers", router.Peers},
		{"$.operators", router.Operators},
		{"$.platform", router.Platform},
	}
	for _, listen := range listens {
		if err := checkAddress(listen.path, listen.address); err != nil {
			return err
		}
		if other, ok := seen[listen.address]; ok {
			return invalid(listen.path, "the address is already used at %s", other)
		}
		seen[listen.address] = listen.path
	}
	seeds := map[string]bool{}
	for i, seed := range router.Seeds {
		path := fmt.Sprintf("$.seeds[%d]", i)
		if err := checkAddress(path, seed); err != nil {
			return err
		}
		if seeds[seed] {
			return invalid(path, "the seed is listed twice")
		}
		seeds[seed] = true
	}
	return nil
}

// checkAddress checks that address is an IP address with a port other than 0.
func checkAddress(path, address string) error {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return invalid(path, "%q is not an IP address with a port", address)
	}
	if parsed.Port() == 0 {
		return invalid(path, "port 0 is not allowed")
	}
	return nil
}

func checkLimits(limits *Limits) error {
	if limits.LoadMultiple < 1.05 || limits.LoadMultiple > 10 {
		return invalid("$.limits.load_multiple", "%v is not between 1.05 and 10", limits.LoadMultiple)
	}
	if limits.RetryRatio < 0 || limits.RetryRatio > 1 {
		return invalid("$.limits.retry_ratio", "%v is not between 0 and 1", limits.RetryRatio)
	}
	ranges := []intRange{
		{"$.limits.engine_floor_tokens", int64(limits.EngineFloorTokens), 0, 1 << 30},
		{"$.limits.engine_requests", int64(limits.EngineRequests), 1, 100000},
		{"$.limits.engine_tokens", int64(limits.EngineTokens), 1, 1 << 30},
		{"$.limits.service_requests", int64(limits.ServiceRequests), 1, 100000},
		{"$.limits.body_bytes", limits.BodyBytes, 1024, 64 << 20},
		{"$.limits.weight_loads_per_minute", int64(limits.WeightLoadsPerMinute), 1, 1000000},
		{"$.limits.records", int64(limits.Records), 1, 10000000},
	}
	return checkRanges(ranges)
}

func checkTiming(timing *Timing) error {
	const hourMS = 3600 * 1000
	ranges := []intRange{
		{"$.timing.heartbeat_ms", int64(timing.HeartbeatMS), 20, 60000},
		{"$.timing.suspect_ms", int64(timing.SuspectMS), 60, 600000},
		{"$.timing.poll_ms", int64(timing.PollMS), 50, 60000},
		{"$.timing.load_report_ms", int64(timing.LoadReportMS), 20, 60000},
		{"$.timing.request_ms", int64(timing.RequestMS), 100, hourMS},
		{"$.timing.progress_ms", int64(timing.ProgressMS), 50, 600000},
		{"$.timing.stall_ms", int64(timing.StallMS), 50, hourMS},
		{"$.timing.resume_ms", int64(timing.ResumeMS), 0, hourMS},
		{"$.timing.linger_ms", int64(timing.LingerMS), 0, 600000},
		{"$.timing.drain_ms", int64(timing.DrainMS), 100, hourMS},
		{"$.timing.key_window_ms", int64(timing.KeyWindowMS), 1000, 24 * hourMS},
		{"$.timing.clock_skew_ms", int64(timing.ClockSkewMS), 1, 60000},
	}
	if err := checkRanges(ranges); err != nil {
		return err
	}
	if timing.SuspectMS < 2*timing.HeartbeatMS {
		return invalid("$.timing.suspect_ms", "%d is less than two heartbeats", timing.SuspectMS)
	}
	return nil
}

// intRange is the allowed range of an integer field, bounds included.
type intRange struct {
	path     string
	value    int64
	min, max int64
}

// checkRanges returns an error for the first field that is out of its range.
func checkRanges(ranges []intRange) error {
	for _, r := range ranges {
		if r.value < r.min || r.value > r.max {
			return invalid(r.path, "%d is not between %d and %d", r.value, r.min, r.max)
		}
	}
	return nil
}
