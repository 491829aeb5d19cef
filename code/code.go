package code

// Code is the number of a result, 0 for success. Numbers are stable and never reused.
type Code int

// The result codes. The hundreds digit is the group: 1 for invalid requests, 2 for
// refusals under load, 3 for failures and outcomes, 4 for results between routers and
// 5 for invalid published documents and settings.
const (
	OK Code = 0

	BadRequest       Code = 101
	UnknownWorkspace Code = 102
	UnknownRoute     Code = 103
	InvalidParameter Code = 104
	BodyTooLarge     Code = 105
	InvalidKey       Code = 106
	KeyReused        Code = 107
	InvalidTicket    Code = 108
	UnknownStream    Code = 109
	UnknownRequest   Code = 110
	UnknownKey       Code = 111
	HeaderTooLarge   Code = 112
	BodyTimeout      Code = 113

	Overloaded     Code = 201
	WorkspaceShare Code = 202
	NoEndpoint     Code = 203
	Draining       Code = 204
	RetryBudget    Code = 205
	EndpointLimits Code = 206
	ReadLate       Code = 207
	RegionEmpty    Code = 208
	EndpointsCold  Code = 209

	OutcomeUnknown   Code = 301
	KeyExpired       Code = 302
	InProgress       Code = 303
	DeadlineExceeded Code = 304
	AnswerIncomplete Code = 305
	Canceled         Code = 306
	ClearanceMissing Code = 307
	NotSent          Code = 308
	KeyFromFuture    Code = 309
	StreamLost       Code = 310
	CrashingPrompt   Code = 311

	PeerRejected     Code = 401
	NotHome          Code = 402
	ViewStale        Code = 403
	EndpointLeaving  Code = 404
	EndpointFault    Code = 405
	EndpointFull     Code = 406
	OrderRejected    Code = 407
	PeerUnreachable  Code = 408
	NotReady         Code = 409
	VersionConflict  Code = 410
	SnapshotTooOld   Code = 411
	ModelNotLoaded   Code = 412
	ContextElsewhere Code = 420
	ContextUnknown   Code = 421
	ContextLeft      Code = 422
	InternalFault    Code = 499
	InvalidTemplate  Code = 501
	InvalidSettings  Code = 502
	InvalidDocument  Code = 503
	PlatformSilent   Code = 504
	PlatformRejected Code = 505
)

// Info describes one Code.
type Info struct {
	// Code is the number.
	Code Code
	// Name is the stable name, in lower case with underscores.
	Name string
	// Status is the HTTP status of a response with the code.
	Status int
	// Run is what is known about whether the work was executed.
	Run Run
	// Retry reports whether the same request may be sent again.
	Retry bool
	// Help is a sentence that tells a caller what to do.
	Help string
}

// Describe returns the description of c, or that of InternalFault if c is not listed.
func Describe(c Code) Info {
	info, ok := byCode[c]
	if !ok {
		return byCode[InternalFault]
	}
	return info
}

// String returns the name of c.
func (c Code) String() string {
	return Describe(c).Name
}
