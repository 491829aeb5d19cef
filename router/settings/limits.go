package settings

// Limits bounds the load of endpoints and the memory of a router.
type Limits struct {
	// LoadMultiple limits an engine's load in progress to a multiple of the mean
	// load of its model's engines. Lower values spread load more evenly; higher
	// values keep more chats at the engine that has their context. Usual values are
	// 1.25 to 1.5.
	LoadMultiple float64 `json:"load_multiple"`
	// EngineFloorTokens is the load in progress, in tokens, below which an engine
	// admits work regardless of the mean, since the mean of a few requests is not
	// meaningful. Lower values spread a light load more evenly; higher values keep
	// more chats at the engine that has their context.
	EngineFloorTokens int `json:"engine_floor_tokens"`
	// EngineRequests limits the requests in progress at one engine.
	EngineRequests int `json:"engine_requests"`
	// EngineTokens limits the expected tokens in progress at one engine.
	EngineTokens int `json:"engine_tokens"`
	// ServiceRequests limits this router's requests in progress at one worker of a
	// plain service.
	ServiceRequests int `json:"service_requests"`
	// BodyBytes limits the size of a caller's request body, in bytes.
	BodyBytes int64 `json:"body_bytes"`
	// Records limits the number of outcomes that are kept for repeated keys. When
	// the limit is reached, new non-idempotent work is refused.
	Records int `json:"records"`
	// WeightLoadsPerMinute limits the models that all engines of the fleet together
	// read from the weight store. Each router uses an equal share.
	WeightLoadsPerMinute int `json:"weight_loads_per_minute"`
	// RetryRatio is the number of retries allowed per first attempt. Higher values
	// mask more failures but multiply the load in a retry storm.
	RetryRatio float64 `json:"retry_ratio"`
}
