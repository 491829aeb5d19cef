package code

import "net/http"

// Table describes every Code, in ascending order. It must not be modified.
var Table = []Info{
	{OK, "ok", http.StatusOK, RunYes, false, "Use the answer."},
	{BadRequest, "bad_request", http.StatusBadRequest, RunNo, false, "Correct the request."},
	{UnknownWorkspace, "unknown_workspace", http.StatusNotFound, RunNo, false, "Check the workspace's name, or publish its template."},
	{UnknownRoute, "unknown_route", http.StatusNotFound, RunNo, false, "Check method and path against the workspace's template."},
	{InvalidParameter, "invalid_parameter", http.StatusBadRequest, RunNo, false, "Correct the parameter that the message names."},
	{BodyTooLarge, "body_too_large", http.StatusRequestEntityTooLarge, RunNo, false, "Send a smaller body."},
	{InvalidKey, "invalid_key", http.StatusBadRequest, RunNo, false, "Use a ticket or a UUID of version 7 as Idempotency-Key."},
	{KeyReused, "key_reused", http.StatusUnprocessableEntity, RunNo, false, "The key was used with another body; use a new key for new work."},
	{InvalidTicket, "invalid_ticket", http.StatusBadRequest, RunNo, false, "Request a new ticket."},
	{UnknownStream, "unknown_stream", http.StatusNotFound, RunUnknown, false, "Send the whole request again."},
	{UnknownRequest, "unknown_request", http.StatusNotFound, RunUnknown, false, "The executor has no record of this request."},
	{UnknownKey, "unknown_key", http.StatusUnauthorized, RunNo, false, "Send a key of the deployment as Authorization: Bearer KEY."},
	{HeaderTooLarge, "header_too_large", http.StatusRequestHeaderFieldsTooLarge, RunNo, false, "Send a smaller header."},
	{BodyTimeout, "body_timeout", http.StatusRequestTimeout, RunNo, true, "Send the whole body within the request's time."},
	{Overloaded, "overloaded", http.StatusServiceUnavailable, RunNo, true, "Retry after the time in Retry-After."},
	{WorkspaceShare, "workspace_share", http.StatusTooManyRequests, RunNo, true, "The workspace exceeds its share; retry after the time in Retry-After."},
	{NoEndpoint, "no_endpoint", http.StatusServiceUnavailable, RunNo, true, "No endpoint can take the work now; retry after the time in Retry-After."},
	{Draining, "draining", http.StatusServiceUnavailable, RunNo, true, "Retry at once; the load balancer has other routers."},
	{RetryBudget, "retry_budget", http.StatusServiceUnavailable, RunNo, true, "Attempts failed before any work was accepted; retry after the time in Retry-After."},
	{EndpointLimits, "endpoint_limits", http.StatusServiceUnavailable, RunNo, true, "All endpoints have named limits that are reached; retry after the time in Retry-After."},
	{ReadLate, "read_late", http.StatusServiceUnavailable, RunNo, true, "The request's time was over when it was read; send it again after the time in Retry-After."},
	{RegionEmpty, "region_empty", http.StatusServiceUnavailable, RunNo, true, "No endpoint in the regions that the route and the workspace allow can take the work; retry after the time in Retry-After."},
	{EndpointsCold, "endpoints_cold", http.StatusServiceUnavailable, RunNo, true, "All endpoints have just started or are cold and take no more requests now; retry after the time in Retry-After."},
	{OutcomeUnknown, "outcome_unknown", http.StatusBadGateway, RunUnknown, true, "Request the outcome with the same key; do not send the work under a new key before the outcome is known."},
	{KeyExpired, "key_expired", http.StatusGone, RunUnknown, false, "The key is too old to be checked; look up the work in the service itself."},
	{InProgress, "in_progress", http.StatusConflict, RunUnknown, true, "Another attempt with this key is in progress; request the outcome after the time in Retry-After."},
	{DeadlineExceeded, "deadline_exceeded", http.StatusGatewayTimeout, RunUnknown, true, "Request the outcome, or retry if the work may be repeated."},
	{AnswerIncomplete, "answer_incomplete", http.StatusBadGateway, RunPartial, true, "Resume the stream from the last offset after the time in Retry-After."},
	{Canceled, "canceled", 499, RunUnknown, false, "The caller canceled the request."},
	{ClearanceMissing, "clearance_missing", http.StatusServiceUnavailable, RunUnknown, true, "Too few routers granted clearance for the key; retry with the same key after the time in Retry-After, or use a ticket for new work."},
	{NotSent, "not_sent", http.StatusServiceUnavailable, RunNo, true, "Nothing of the work was sent, and the key will never be executed; send the work under a new key after the time in Retry-After."},
	{KeyFromFuture, "key_from_future", http.StatusTooEarly, RunUnknown, true, "The key's timestamp is ahead of the routers' clocks; correct the clock, or retry with the same key after the time in Retry-After."},
	{StreamLost, "stream_lost", http.StatusGone, RunPartial, false, "Send the whole request again, with the tokens received so far as its prefix."},
	{CrashingPrompt, "crashing_prompt", http.StatusServiceUnavailable, RunNo, false, "Endpoints crashed under such requests; change the request or its prompt, or retry after the time in Retry-After."},
	{PeerRejected, "peer_rejected", http.StatusForbidden, RunNo, false, "The sender could not authenticate as a router of this fleet."},
	{NotHome, "not_home", http.StatusMisdirectedRequest, RunNo, true, "This router does not manage the endpoint."},
	{ViewStale, "view_stale", http.StatusServiceUnavailable, RunNo, true, "The router's view of the fleet is too old to act on."},
	{EndpointLeaving, "endpoint_leaving", http.StatusServiceUnavailable, RunNo, true, "The endpoint is about to stop; use another one."},
	{EndpointFault, "endpoint_fault", http.StatusBadGateway, RunUnknown, true, "The endpoint failed or its answer was truncated."},
	{EndpointFull, "endpoint_full", http.StatusServiceUnavailable, RunNo, true, "The endpoint is at its capacity; use another one."},
	{OrderRejected, "order_rejected", http.StatusConflict, RunNo, false, "The order has an outdated fencing token."},
	{PeerUnreachable, "peer_unreachable", http.StatusServiceUnavailable, RunNo, true, "The router could not be reached."},
	{NotReady, "not_ready", http.StatusServiceUnavailable, RunNo, true, "The router has not received its configuration yet."},
	{VersionConflict, "version_conflict", http.StatusConflict, RunNo, true, "The version is older than the one in force."},
	{SnapshotTooOld, "snapshot_too_old", http.StatusConflict, RunNo, true, "Request a full snapshot."},
	{ModelNotLoaded, "model_not_loaded", http.StatusServiceUnavailable, RunNo, true, "The engine has not loaded the model; use another one."},
	{ContextElsewhere, "context_elsewhere", http.StatusMisdirectedRequest, RunNo, true, "The engine's home forwards the chat to the next candidate."},
	{ContextUnknown, "context_unknown", http.StatusMisdirectedRequest, RunNo, true, "The engine's home does not know yet where the chat's context is; the next candidates are asked first."},
	{ContextLeft, "context_left", http.StatusMisdirectedRequest, RunNo, true, "The engine's home forwards the chat, whose context was at the engine before."},
	{InternalFault, "internal_fault", http.StatusInternalServerError, RunUnknown, false, "Report the error with the log line."},
	{InvalidTemplate, "invalid_template", http.StatusUnprocessableEntity, RunNo, false, "Correct the template at the given path; the last accepted one stays in force."},
	{InvalidSettings, "invalid_settings", http.StatusUnprocessableEntity, RunNo, false, "Correct the settings at the given path."},
	{InvalidDocument, "invalid_document", http.StatusUnprocessableEntity, RunNo, false, "Correct the published document at the given path."},
	{PlatformSilent, "platform_silent", http.StatusServiceUnavailable, RunNo, true, "The platform's service does not respond."},
	{PlatformRejected, "platform_rejected", http.StatusTooManyRequests, RunNo, true, "The platform's service rejected the call."},
}

// byCode is Table, indexed by code.
var byCode = indexTable()

// indexTable returns Table, indexed by code.
func indexTable() map[Code]Info {
	index := make(map[Code]Info, len(Table))
	for _, info := range Table {
		index[info.Code] = info
	}
	return index
}
