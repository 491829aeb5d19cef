package gateway

import (
	"context"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"cardamompoint.example/cardamompoint/gateway/gossip"
	"cardamompoint.example/cardamompoint/gateway/knowledge"
	"cardamompoint.example/cardamompoint/internal/jsonhttp"
)

const (
	// peerDialTimeout bounds the time to connect to another VM.
	peerDialTimeout = 300 * time.Millisecond
	// peerIdleTimeout is how long an idle connection to another VM is kept.
	peerIdleTimeout = 5 * time.Second
)

// peerClient sends queries to other VMs.
type peerClient struct {
	port   string
	client *http.Client
}

func newPeerClient(port int) *peerClient {
	dialer := &net.Dialer{Timeout: peerDialTimeout}
	transport := &http.Transport{
		DialContext:            dialer.DialContext,
		MaxIdleConnsPerHost:    1,
		IdleConnTimeout:        peerIdleTimeout,
		MaxResponseHeaderBytes: jsonhttp.MaxHeaderBytes,
	}
	return &peerClient{port: strconv.Itoa(port), client: &http.Client{Transport: transport}}
}

// Sync asks a VM for the data that is newer than stated in request. The VM waits up to
// wait for a change.
func (p *peerClient) Sync(ctx context.Context, address string, request knowledge.SyncRequest, wait time.Duration) (knowledge.SyncResponse, error) {
	target := "http://" + net.JoinHostPort(address, p.port) + knowledgePath + "?" + syncQuery(request, wait).Encode()
	var response knowledge.SyncResponse
	err := jsonhttp.Get(ctx, p.client, target, &response)
	if err != nil {
		// An open connection may have become unresponsive while new ones work.
		p.client.CloseIdleConnections()
	}
	return response, err
}

// syncQuery returns the query of a request for knowledge.
func syncQuery(request knowledge.SyncRequest, wait time.Duration) url.Values {
	query := url.Values{}
	for name, value := range map[string]int64{
		paramEra:            request.Position.Era,
		paramRevision:       request.Position.Revision,
		paramVersion:        request.ConfigurationVersion,
		paramNewestEra:      request.Newest.Era,
		paramNewestRevision: request.Newest.Revision,
		paramWaitMS:         wait.Milliseconds(),
	} {
		query.Set(name, strconv.FormatInt(value, 10))
	}
	return query
}

// Locations asks a VM for the known locations of prompt parts.
func (p *peerClient) Locations(ctx context.Context, address string) ([]gossip.PartLocation, error) {
	raw, err := jsonhttp.GetBytes(ctx, p.client, "http://"+net.JoinHostPort(address, p.port)+locationsPath)
	if err != nil {
		return nil, err
	}
	return gossip.UnpackPartLocations(raw)
}
