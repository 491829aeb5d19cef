package code

import "net/http"

// Table lists every Code in ascending order. It must not be changed.
var Table = []Info{
	{OK, "ok", http.StatusOK, RunYes, false, "Use the answer."},
	{BadRequest, "bad_request", http.StatusBadRequest, RunNo, false, "Mend the request."},
	{UnknownWorkspace, "unknown_workspace", http.StatusNotFound, RunNo, false, "Check the workspace's name, or publish its template."},
	{UnknownRoute, "unknown_route", http.StatusNotFound, RunNo, false, "Check method and path against the workspace's template."},
	{InvalidParameter, "invalid_parameter", http.StatusBadRequest, RunNo, false, "Mend the parameter that the message names."},
	{BodyTooLarge, "body_too_large", http.StatusRequestEntityTooLarge, RunNo, false, "Send a smaller body."},
	{InvalidKey, "invalid_key", http.StatusBadRequest, RunNo, false, "Use a ticket or a UUID of version 7 as Idempotency-Key."},
	{KeyReused, "key_reused", http.StatusUnprocessableEntity, RunNo, false, "The key belongs to another body; use a new key for new work."},
	{InvalidTicket, "invalid_ticket", http.StatusBadRequest, RunNo, false, "Ask for a new ticket."},
	{UnknownStream, "unknown_stream", http.StatusNotFound, RunUnknown, false, "Ask again with the whole request."},
	{UnknownRequest, "unknown_request", http.StatusNotFound, RunUnknown, false, "The executor keeps no record of this request."},
	{UnknownKey, "unknown_key", http.StatusUnauthorized, RunNo, false, "Send a key of the deployment as Authorization: Bearer KEY."},
	{HeaderTooLarge, "header_too_large", http.StatusRequestHeaderFieldsTooLarge, RunNo, false, "Send a smaller header."},
	{Overloaded, "overloaded", http.StatusServiceUnavailable, RunNo, true, "Come back after Retry-After."},
	{WorkspaceShare, "workspace_share", http.StatusTooManyRequests, RunNo, true, "The workspace uses its share; come back after Retry-After."},
	{NoEndpoint, "no_endpoint", http.StatusServiceUnavailable, RunNo, true, "No endpoint can take the work now; come back after Retry-After."},
	{Draining, "draining", http.StatusServiceUnavailable, RunNo, true, "Come back at once; the balancer has other routers."},
	{RetryBudget, "retry_budget", http.StatusServiceUnavailable, RunNo, true, "Attempts failed before any work was kept; come back after Retry-After."},
	{OutcomeUnknown, "outcome_unknown", http.StatusBadGateway, RunUnknown, true, "Ask for the outcome with the same key; never send the work under a new key before it is known."},
	{KeyExpired, "key_expired", http.StatusGone, RunUnknown, false, "The key is too old to be checked; look the work up in the service itself."},
	{InProgress, "in_progress", http.StatusConflict, RunUnknown, true, "Another attempt with this key runs; ask for the outcome after Retry-After."},
	{DeadlineExceeded, "deadline_exceeded", http.StatusGatewayTimeout, RunUnknown, true, "Ask for the outcome, or repeat if the work may be repeated."},
	{AnswerIncomplete, "answer_incomplete", http.StatusBadGateway, RunPartial, true, "Resume the stream from the last offset after Retry-After."},
	{Canceled, "canceled", 499, RunUnknown, false, "The caller gave the request up."},
	{ClearanceMissing, "clearance_missing", http.StatusServiceUnavailable, RunUnknown, true, "Too few routers could vouch for the key; repeat with the same key after Retry-After, or use a ticket for new work."},
	{NotSent, "not_sent", http.StatusServiceUnavailable, RunNo, true, "No byte of the work was sent, and the key will never be run; send the work under a new key after Retry-After."},
	{KeyFromFuture, "key_from_future", http.StatusTooEarly, RunUnknown, true, "The key's timestamp is ahead of the routers' clocks; set the clock, or repeat with the same key after Retry-After."},
	{StreamLost, "stream_lost", http.StatusGone, RunPartial, false, "Ask again with the whole request and, as its prefix, the tokens that came."},
	{PeerRejected, "peer_rejected", http.StatusForbidden, RunNo, false, "The sender could not prove that it is a router of this fleet."},
	{NotHome, "not_home", http.StatusMisdirectedRequest, RunNo, true, "This router does not manage the endpoint."},
	{ViewStale, "view_stale", http.StatusServiceUnavailable, RunNo, true, "The router's view is too old to act on."},
	{EndpointLeaving, "endpoint_leaving", http.StatusServiceUnavailable, RunNo, true, "The endpoint is leaving; use another one."},
	{EndpointFault, "endpoint_fault", http.StatusBadGateway, RunUnknown, true, "The endpoint failed or its answer was cut."},
	{EndpointFull, "endpoint_full", http.StatusServiceUnavailable, RunNo, true, "The endpoint is at its cap; use another one."},
	{OrderRejected, "order_rejected", http.StatusConflict, RunNo, false, "The order carries an old fencing number."},
	{PeerUnreachable, "peer_unreachable", http.StatusServiceUnavailable, RunNo, true, "No connection to the router could be opened."},
	{NotReady, "not_ready", http.StatusServiceUnavailable, RunNo, true, "The router has not learned its configuration yet."},
	{VersionConflict, "version_conflict", http.StatusConflict, RunNo, true, "The version is older than the one in force."},
	{SnapshotTooOld, "snapshot_too_old", http.StatusConflict, RunNo, true, "Ask for a whole snapshot."},
	{ModelNotLoaded, "model_not_loaded", http.StatusServiceUnavailable, RunNo, true, "The engine has not loaded the model; use another one."},
	{ContextElsewhere, "context_elsewhere", http.StatusMisdirectedRequest, RunNo, true, "The engine's home passes the chat on to its next choice."},
	{ContextUnknown, "context_unknown", http.StatusMisdirectedRequest, RunNo, true, "The engine's home does not know yet where the chat's context is; its next choices are asked first."},
	{ContextLeft, "context_left", http.StatusMisdirectedRequest, RunNo, true, "The engine's home passes the chat on, whose context was at the engine before."},
	{InternalFault, "internal_fault", http.StatusInternalServerError, RunUnknown, false, "Report the log line."},
	{InvalidTemplate, "invalid_template", http.StatusUnprocessableEntity, RunNo, false, "Mend the template at the named path; the last accepted one stays in force."},
	{InvalidSettings, "invalid_settings", http.StatusUnprocessableEntity, RunNo, false, "Mend the settings at the named path."},
	{InvalidDocument, "invalid_document", http.StatusUnprocessableEntity, RunNo, false, "Mend the published document at the named path."},
	{PlatformSilent, "platform_silent", http.StatusServiceUnavailable, RunNo, true, "The platform's service does not answer."},
	{PlatformRejected, "platform_rejected", http.StatusTooManyRequests, RunNo, true, "The platform's service refused the call."},
}

var byCode = indexTable()

func indexTable() map[Code]Info {
	index := make(map[Code]Info, len(Table))
	for _, info := range Table {
		index[info.Code] = info
	}
	return index
}
