package main

import (
	"strings"
	"time"
)

// The only tenant of a manifest is taken away, with its key.
const (
	revokeTime = 5 * time.Second
	// keyCalm is how long the key is in force, revokedTime for how long requests with it are
	// judged from revokeTime after the acknowledgement on.
	keyCalm     = 3 * time.Second
	revokedTime = 4 * time.Second
)

// withoutTenants is deskConfig as its next version, whose list of tenants is empty.
func withoutTenants() string {
	before, _, _ := strings.Cut(deskConfig, `"tenants":`)
	return strings.Replace(before, `"version":1`, `"version":2`, 1) + `"tenants":[]}`
}

func playTenants(d *deployment) (broken bool, err error) {
	d.store.put("op/config", rawJSON(deskConfig))
	runners, err := d.startDesk()
	if err != nil {
		return false, err
	}
	c := newConsumer(d)
	c.orders(keyCalm)
	acknowledged := time.Now()
	if d.trouble {
		acknowledged = d.store.put("op/config", rawJSON(withoutTenants()))
		d.note("the store has acknowledged at %.3f the manifest without the tenant", d.at(acknowledged))
	}
	c.orders(revokeTime + revokedTime)
	late := 0
	for _, r := range runners {
		for _, a := range r.arrivedAfter(acknowledged.Add(revokeTime)) {
			if sent := c.sentAt(a.id); d.trouble && sent.After(acknowledged.Add(revokeTime)) {
				d.note("LATE: %s was sent at %.3f with the key that had been taken away, and reached %s at %.3f", a.id, d.at(sent), a.runner, d.at(a.at))
				late++
			}
		}
	}
	d.note("%d requests that were sent later than %s after the acknowledgement ran", late, revokeTime)
	return late > 0, nil
}
