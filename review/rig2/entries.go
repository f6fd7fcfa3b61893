package main

import (
	"crypto/rand"
	"encoding/base64"
	"fmt"
	"time"
)

const (
	// oddEntries of another writer are written, one each oddEntryEvery, with oddEntryBytes, less than value-bytes.
	oddEntries    = 40
	oddEntryBytes = 1000 << 10
	oddEntryEvery = 50 * time.Millisecond
)

// oddEntriesCase has another writer put a few large objects among the entries of the targets.
func oddEntriesCase(r *rig) (verdict, error) {
	if err := r.setUp(newConfiguration(7, 0)); err != nil {
		return verdict{}, err
	}
	t := r.startTraffic()
	time.Sleep(5 * time.Second)
	r.superviseAll()
	if r.trouble {
		for i := range oddEntries {
			b := make([]byte, oddEntryBytes/4*3)
			_, _ = rand.Read(b)
			r.store.put("servers", fmt.Sprintf("other-%d", i+1), map[string]any{
				"address": 7, "info": "of another writer", "data": base64.StdEncoding.EncodeToString(b),
			})
			time.Sleep(oddEntryEvery)
		}
		r.note("another writer has written %d objects of %d bytes under servers", oddEntries, oddEntryBytes)
	}
	time.Sleep(45 * time.Second)
	t.end()
	return t.judge(), nil
}
