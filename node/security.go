package node

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/zinniaseam/zinniaseam/certs"
	"github.com/zinniaseam/zinniaseam/peers"
	"github.com/zinniaseam/zinniaseam/timeline"
)

// maxFormerKeys bounds the number of peer keys accepted in addition to the current one.
const maxFormerKeys = 8

// security opens the certificate store, nil without a directory, and returns the
// security configuration of connections to peers.
func (s *Settings) security() (*certs.Store, peers.Security, error) {
	former, err := parseFormerKeys(s.PeerKey, s.FormerKeys)
	security := peers.Security{Key: s.PeerKey, FormerKeys: former, Mode: peers.TLSMode(s.PeerTLS)}
	if s.TLSDir == "" {
		if security.Mode != peers.TLSOff && security.Mode != "" {
			err = errors.Join(err, fmt.Errorf("setting peer-tls = %q: needs tls-dir", s.PeerTLS))
		}
		return nil, security, err
	}
	store, openErr := certs.Open(s.TLSDir, time.Now)
	if err = errors.Join(err, openErr); err != nil {
		return nil, security, err
	}
	security.TLS = store
	return store, security, nil
}

// parseFormerKeys splits the list of former keys. Errors give the position of a
// key and never the key itself.
func parseFormerKeys(key, text string) ([]string, error) {
	if text == "" {
		return nil, nil
	}
	if key == "" {
		return nil, errors.New("setting peer-keys-former: needs peer-key")
	}
	keys := strings.Split(text, ",")
	if len(keys) > maxFormerKeys {
		return nil, fmt.Errorf("setting peer-keys-former: has %d keys, want at most %d", len(keys), maxFormerKeys)
	}
	for i, former := range keys {
		if len(former) < peers.MinKeyBytes {
			return nil, fmt.Errorf("setting peer-keys-former: key %d has %d bytes, want at least %d", i+1, len(former), peers.MinKeyBytes)
		}
	}
	return keys, nil
}

// WatchCertificates reloads rotated certificates until ctx is done, and logs and
// records the events.
func (n *Node) WatchCertificates(ctx context.Context) error {
	if n.Certs == nil {
		<-ctx.Done()
		return ctx.Err()
	}
	log := n.Log.WithPrefix("certs")
	return n.Certs.Run(ctx, func(event certs.Event) {
		n.Recorder.Add(timeline.KindProcess, "", string(n.VM), event.Text)
		if event.Alarm {
			log.Warn(event.Text, "err", event.Err)
			return
		}
		log.Info(event.Text)
	})
}
