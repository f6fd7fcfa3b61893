package fleet

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/sourcegraph/jsonrpc2"
	"google.golang.org/protobuf/encoding/protojson"

	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/process/catalog"
	"github.com/amaranthramp/amaranthramp/wire"
)

// maxAnswers bounds the answers to fetches that are encoded and sent at a time, each of which takes several times the
// memory of its updates.
const maxAnswers = 16

// errManyFetches means that a fetch found no free place among maxAnswers within fetchTimeout.
var errManyFetches = errors.New("fleet: too many fetches at a time")

// serveFetches answers fetches of other members until the listener is closed.
func (f *Fleet) serveFetches(ctx context.Context, l net.Listener) {
	for {
		n, err := l.Accept()
		if err != nil {
			// The listener goes on after all errors but that it is closed.
			return
		}
		jsonrpc2.NewConn(ctx, jsonrpc2.NewPlainObjectStream(&timedConn{n}), &updateHandler{fleet: f})
	}
}

// timedConn is a connection whose writes time out, so that a member that does not read its answer holds no memory.
type timedConn struct{ net.Conn }

// Write fails if the other side does not take the bytes within fetchTimeout.
func (c *timedConn) Write(b []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(fetchTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}

// updateHandler answers the calls on a connection of another member.
type updateHandler struct{ fleet *Fleet }

// Handle answers a call. The answer counts among maxAnswers until it has been sent.
func (h *updateHandler) Handle(ctx context.Context, c *jsonrpc2.Conn, r *jsonrpc2.Request) {
	f := h.fleet
	build, err := f.prepareAnswer(ctx, r)
	if err == nil {
		select {
		case f.answers <- struct{}{}:
			defer func() { <-f.answers }()
		case <-time.After(fetchTimeout):
			err = errManyFetches
		case <-ctx.Done():
			err = ctx.Err()
		}
	}
	jsonrpc2.HandlerWithError(func(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) (any, error) {
		if err != nil {
			return nil, err
		}
		f.servedCount.Add(1)
		n, err := build()
		if err != nil {
			return nil, err
		}
		return encodeNews(n)
	}).Handle(ctx, c, r)
}

// prepareAnswer waits until this VM has the changes that a call asks for, and returns the function that builds the
// answer.
func (f *Fleet) prepareAnswer(ctx context.Context, r *jsonrpc2.Request) (func() (*wire.News, error), error) {
	switch {
	case r.Method == methodKindNews && r.Params != nil:
		return f.prepareKindAnswer(ctx, *r.Params)
	case r.Method != methodNews || r.Params == nil:
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: r.Method}
	}
	q := &wire.Since{}
	if err := protojson.Unmarshal(*r.Params, q); err != nil || len(q.GetAsOf()) != int(listedKinds) {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: "revisions are missing"}
	}
	f.waitToCatchUp(ctx, q)
	return func() (*wire.News, error) { return f.updatesSince(q) }, nil
}

// prepareKindAnswer does the same for a fetch of one kind.
func (f *Fleet) prepareKindAnswer(ctx context.Context, params json.RawMessage) (func() (*wire.News, error), error) {
	q := &wire.KindSince{}
	o := protojson.UnmarshalOptions{DiscardUnknown: true}
	if err := o.Unmarshal(params, q); err != nil || !f.follows(q.GetKind()) {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: "kind is not followed"}
	}
	k := catalog.Kind(q.GetKind())
	var want [catalog.KindCount]catalog.Position
	want[k] = catalog.Position{Era: ident.Era(q.GetWantEra()), Revision: ident.Revision(q.GetWant())}
	f.waitFor(ctx, &want)
	return func() (*wire.News, error) {
		since := catalog.Position{Era: ident.Era(q.GetEra()), Revision: ident.Revision(q.GetAsOf())}
		changed, _ := f.catalog.Positions()
		if !f.catalog.Listed(k) || !since.Before(changed[k]) && since.Known() {
			return &wire.News{}, nil
		}
		b, err := f.updates.get(f.catalog, k, since)
		if err != nil {
			return nil, err
		}
		return &wire.News{Packed: [][]byte{b}}, nil
	}, nil
}

func encodeNews(n *wire.News) (any, error) {
	b, err := protojson.Marshal(n)
	if err != nil {
		return nil, fmt.Errorf("encode updates: %w", err)
	}
	return json.RawMessage(b), nil
}
