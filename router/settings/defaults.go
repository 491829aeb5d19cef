package settings

// Defaults returns the values of the settings that a file may omit.
func Defaults() Router {
	return Router{
		Limits: Limits{
			LoadMultiple:         1.25,
			EngineFloorTokens:    2048,
			EngineRequests:       64,
			EngineTokens:         65536,
			ServiceRequests:      64,
			BodyBytes:            4 << 20,
			Records:              200000,
			WeightLoadsPerMinute: 60,
			RetryRatio:           0.2,
		},
		Timing: Timing{
			HeartbeatMS:  1000,
			SuspectMS:    3000,
			PollMS:       5000,
			LoadReportMS: 1000,
			RequestMS:    120000,
			ProgressMS:   5000,
			StallMS:      30000,
			ResumeMS:     10000,
			LingerMS:     3000,
			DrainMS:      60000,
			KeyWindowMS:  900000,
			ClockSkewMS:  2000,
		},
	}
}
