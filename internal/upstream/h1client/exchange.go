package h1client

import (
	"bytes"
	"time"

	"yokestall/internal/engine"
	"yokestall/policy"
)

// Exchange implements engine.Exchanger. payload must be a *Request. The result's Answer is a *Answer or nil.
func (p *Pool) Exchange(
	call *engine.Call, id policy.EndpointID, payload any, remaining time.Duration,
) engine.Result {
	r := payload.(*Request)
	start := time.Now()
	for {
		c, status := p.connect(call, id)
		if c == nil {
			return engine.Result{Status: status}
		}
		c.requestBuffer = r.appendTo(c.requestBuffer[:0], remaining-time.Since(start))
		if !c.quiet() { // the endpoint closed it or sent data
			p.release(c, false)
			if c.reused {
				continue
			}
			return engine.Result{Status: policy.ConnectFailed}
		}
		if !p.listed(c.endpoint) { // another process may serve at its address
			p.release(c, false)
			return engine.Result{Status: policy.NeverSent}
		}
		call.OnStop(c.abort)
		if !call.BeginSend() {
			p.release(c, call.ClearOnStop())
			return engine.Result{Status: policy.NeverSent}
		}
		c.call = call
		result, reusable := p.exchange(c, r)
		c.call, c.buffering = nil, false
		active := call.ClearOnStop()
		if a, ok := result.Answer.(*Answer); ok && (a.Stream != nil || a.Tunnel != nil) {
			if !active { // the call was stopped, which closes the connection
				a.Close()
				return engine.Result{Status: policy.Cancelled}
			}
			return result // its Stream or Tunnel owns the connection
		}
		p.release(c, active && reusable)
		return result
	}
}

// exchange writes the request and reads the answer. Once the last byte of the request is written, the endpoint may
// have run it. If a write fails, the endpoint has not received the whole request, and the status is policy.ConnectFailed;
// with Options.AnyStatus it is policy.Reset if the whole head was written. reusable reports whether the connection can
// serve a further request.
func (p *Pool) exchange(c *conn, r *Request) (result engine.Result, reusable bool) {
	n, err := c.Conn.Write(c.requestBuffer)
	if err == nil && len(r.Body) > MaxBody {
		_, err = c.Conn.Write(r.Body)
	}
	if err != nil {
		if p.anyStatus && bytes.Contains(c.requestBuffer[:n], headEnd) { // the endpoint may act on part of the body
			return engine.Result{Status: policy.Reset}, false
		}
		return engine.Result{Status: policy.ConnectFailed}, false
	}
	if r.Upload == nil {
		return p.readAnswer(c, r, nil)
	}
	sender := c.startUpload(r.Upload, r.chunked(), r.StallTimeout())
	result, reusable = p.readAnswer(c, r, sender)
	if a, ok := result.Answer.(*Answer); ok && a.Stream != nil {
		return result, false // the upload continues while the stream is read
	}
	complete := sender.stop(c)
	if sender.clientFailed && result.Status != policy.OK { // reading the body failed or was ended by stop
		result.Status = policy.Cancelled
	}
	return result, reusable && complete
}
