package settings

// Limits bounds the load of endpoints and the memory of a router.
type Limits struct {
	// LoadMultiple caps an engine's load in progress as a multiple of the mean
	// load of its model's engines. Lower values spread load more evenly, higher
	// values keep more chats at their context. Usual: 1.25 to 1.5.
	LoadMultiple float64 `json:"load_multiple"`
	// EngineFloorTokens is the load in progress, in tokens, below which an engine
	// admits work whatever the mean is. A mean of few requests says little; lower
	// values spread a light load more evenly, higher values keep more chats at
	// their context.
	EngineFloorTokens int `json:"engine_floor_tokens"`
	// EngineRequests caps the requests in progress at one engine.
	EngineRequests int `json:"engine_requests"`
	// EngineTokens caps the expected tokens in progress at one engine.
	EngineTokens int `json:"engine_tokens"`
	// ServiceRequests caps the requests in progress at one plain service worker.
	ServiceRequests int `json:"service_requests"`
	// BodyBytes caps a caller's request body, in bytes.
	BodyBytes int64 `json:"body_bytes"`
	// Records caps the outcomes kept for repeated keys. A full table refuses
	// new work that may not be repeated.
	Records int `json:"records"`
	// WeightLoadsPerMinute is the weight store's rate for the whole fleet, in
	// models that engines read from it. Each router uses an equal share.
	WeightLoadsPerMinute int `json:"weight_loads_per_minute"`
	// RetryRatio is how many retries are allowed for each first attempt, as a
	// ratio. Higher values mask more failures and multiply load in a retry storm.
	RetryRatio float64 `json:"retry_ratio"`
}
