package capacity

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"fmt"

	"github.com/zinniaseam/zinniaseam/catalogue"
	"github.com/zinniaseam/zinniaseam/configsync"
)

// Document is the cost of one change of a document.
type Document struct {
	Name string `json:"name"`
	// Items is the number of objects or VMs.
	Items           int `json:"items"`
	Bytes           int `json:"bytes"`
	CompressedBytes int `json:"compressedBytes"`
	// PublishMicros is the processor time in the publishing entry, TakeMicros in every
	// other process.
	PublishMicros float64 `json:"publishMicroseconds,omitempty"`
	TakeMicros    float64 `json:"takeMicroseconds"`
}

// documentWork is the number of items over all repetitions of one measurement.
const documentWork = 20_000

func measureDocuments(quick bool) ([]Document, error) {
	work := documentWork
	objectCounts, vmCounts := []int{10, 100, 1000}, [][2]int{{7, 100}, {34, 230}, {340, 2300}}
	if quick {
		work /= quickWorkDivisor
		objectCounts, vmCounts = objectCounts[:2], vmCounts[:2]
	}
	var rows []Document
	for _, objects := range objectCounts {
		row, err := measureConfig(objects, max(3, work/objects))
		if err != nil {
			return nil, err
		}
		rows = append(rows, row)
	}
	for _, size := range vmCounts {
		rows = append(rows, measureVMList(size[0], size[1], max(3, work/(size[0]+size[1]))))
	}
	return rows, nil
}

func measureConfig(objects, count int) (Document, error) {
	base, err := documentWithHistory(catalogueOf(objects))
	if err != nil {
		return Document{}, err
	}
	set := base.Set
	set.Teams = []catalogue.Team{{Name: "desk", Weight: 99}}
	next, err := publish(base, &set, fullHistory+1)
	if err != nil {
		return Document{}, err
	}
	data, err := next.Encode()
	if err != nil {
		return Document{}, fmt.Errorf("capacity: %w", err)
	}
	row := Document{Name: "configuration", Items: objects, Bytes: len(data), CompressedBytes: compressedSize(data)}
	row.PublishMicros = microseconds(count, func() {
		catalogue.Validate(&set)
		doc, _ := publish(base, &set, fullHistory+1)
		_, _ = doc.Encode()
	})
	row.TakeMicros = microseconds(count, func() { catalogue.NewIndex(&mustDecode(data).Set) })
	return row, nil
}

func measureVMList(entries, endpoints, count int) Document {
	list := vms(entries, endpoints, zoneCount)
	data, err := json.Marshal(list)
	if err != nil {
		panic("capacity: " + err.Error())
	}
	row := Document{Name: "VM list", Items: entries + endpoints, Bytes: len(data), CompressedBytes: compressedSize(data)}
	row.TakeMicros = microseconds(count, func() {
		decoded := list[:0:0]
		_ = json.Unmarshal(data, &decoded)
	})
	return row
}

func mustDecode(data []byte) *configsync.Document {
	doc, err := configsync.Decode(data)
	if err != nil {
		panic("capacity: " + err.Error())
	}
	return doc
}

func compressedSize(data []byte) int {
	var out bytes.Buffer
	writer := gzip.NewWriter(&out)
	_, _ = writer.Write(data)
	_ = writer.Close()
	return out.Len()
}
