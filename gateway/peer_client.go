package gateway

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"time"

	"cardamompoint.example/cardamompoint/internal/clock"
	"cardamompoint.example/cardamompoint/internal/jsonhttp"
	"cardamompoint.example/cardamompoint/knowledge"
	"cardamompoint.example/cardamompoint/news"
)

// peerDialTimeout bounds the set-up of a connection to another VM.
const peerDialTimeout = 300 * time.Millisecond

// peerClient asks other VMs for their knowledge.
type peerClient struct {
	members *news.Table
	port    string
	client  *http.Client
}

func newPeerClient(members *news.Table, port int) *peerClient {
	dialer := &net.Dialer{Timeout: peerDialTimeout}
	// A new connection for each question: an old one may have gone silent.
	transport := &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true}
	return &peerClient{members: members, port: strconv.Itoa(port), client: &http.Client{Transport: transport}}
}

// Freshest implements knowledge.PeerSource.
func (p *peerClient) Freshest() (address string, age time.Duration, ok bool) {
	now := clock.Now()
	for _, member := range p.members.Alive(now) {
		if member.Report.AgeMS < 0 {
			continue
		}
		told := time.Duration(member.Report.AgeMS)*time.Millisecond + now.Sub(member.Heard)
		if !ok || told < age {
			address, age, ok = member.Report.Address, told, true
		}
	}
	return address, age, ok
}

// Ask implements knowledge.PeerSource.
func (p *peerClient) Ask(ctx context.Context, address string, incarnation, from int64) (knowledge.Share, error) {
	url := fmt.Sprintf("http://%s%s?incarnation=%d&from=%d", net.JoinHostPort(address, p.port), knowledgePath, incarnation, from)
	var share knowledge.Share
	err := jsonhttp.Get(ctx, p.client, url, &share)
	return share, err
}

// Places asks a peer where prompt parts are.
func (p *peerClient) Places(ctx context.Context, address string) ([]news.PartPlace, error) {
	var places []news.PartPlace
	err := jsonhttp.Get(ctx, p.client, "http://"+net.JoinHostPort(address, p.port)+placesPath, &places)
	return places, err
}
