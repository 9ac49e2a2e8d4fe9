package capacity

// Slope is a cost that the capacity page multiplies by a size.
type Slope struct {
	Name  string  `json:"name"`
	Value float64 `json:"value"`
	Unit  string  `json:"unit"`
}

// slopes returns the slopes between the smallest and the largest size of each
// measurement.
func slopes(r *Result) []Slope {
	less, more := r.Knowledge[0], r.Knowledge[len(r.Knowledge)-1]
	endpoints := float64(more.Endpoints - less.Endpoints)
	perEndpoint := func(name string, difference float64, unit string) Slope {
		return Slope{Name: name, Value: difference / endpoints, Unit: unit}
	}
	list := []Slope{
		perEndpoint("endpoint state in a message", float64(more.MessageBytes-less.MessageBytes), "bytes an endpoint"),
		perEndpoint("endpoint state in memory", more.StateBytes-less.StateBytes, "bytes an endpoint"),
		perEndpoint("build and encode", more.BuildMicros+more.EncodeMicros-less.BuildMicros-less.EncodeMicros, "us an endpoint"),
		perEndpoint("decode and merge", more.DecodeMicros+more.MergeMicros-less.DecodeMicros-less.MergeMicros, "us an endpoint"),
	}
	list = append(list, requestSlopes(r.Requests)...)
	list = append(list, exchangeSlopes(r.Exchange)...)
	return append(list, documentSlopes(r.Documents)...)
}

// requestSlopes expects the rows that vary endpoints before those that vary tokens.
func requestSlopes(rows []Requests) []Slope {
	base, tokens := rows[0], rows[len(rows)-1]
	manyEndpoints := base
	for _, row := range rows {
		if row.Tokens == base.Tokens {
			manyEndpoints = row
		}
	}
	perToken := (tokens.Micros - base.Micros) / float64(tokens.Tokens-base.Tokens)
	return []Slope{
		{Name: "request, by endpoints known", Value: (manyEndpoints.Micros - base.Micros) / float64(manyEndpoints.Endpoints-base.Endpoints), Unit: "us an endpoint"},
		{Name: "token, by caller, entry and endpoint", Value: perToken, Unit: "us a token"},
		{Name: "request without tokens, by caller, entry and endpoint", Value: base.Micros - perToken*float64(base.Tokens), Unit: "us a request"},
		{Name: "token between entry and endpoint", Value: (tokens.BackendBytes - base.BackendBytes) / float64(tokens.Tokens-base.Tokens), Unit: "bytes a token"},
	}
}

// exchangeSlopes compares the largest zone with and without endpoints, and the largest
// number of zones with one zone of the same size.
func exchangeSlopes(rows []Exchange) []Slope {
	var fullZone, idleZone, allZones, singleZone Exchange
	for _, row := range rows {
		if row.Zones == 1 && row.Endpoints > fullZone.Endpoints {
			fullZone = row
		}
		if row.Zones > allZones.Zones && row.Endpoints > 0 {
			allZones = row
		}
	}
	for _, row := range rows {
		if row.Zones == 1 && row.Entries == fullZone.Entries && row.Endpoints == 0 {
			idleZone = row
		}
		if row.Zones == 1 && row.Entries*allZones.Zones == allZones.Entries && row.Endpoints*allZones.Zones == allZones.Endpoints {
			singleZone = row
		}
	}
	return []Slope{
		{Name: "exchange between entries with nothing new", Value: idleZone.BetweenBytes + idleZone.FramingBytes, Unit: "bytes an exchange"},
		{Name: "report of an endpoint process", Value: fullZone.ReportBytes + fullZone.FramingBytes, Unit: "bytes a report"},
		{Name: "entry, exchange in its zone without endpoints", Value: idleZone.EntryBytesPerSecond, Unit: "bytes/s"},
		{Name: "entry, by endpoints of its zone", Value: (fullZone.EntryBytesPerSecond - idleZone.EntryBytesPerSecond) / float64(fullZone.Endpoints), Unit: "bytes/s an endpoint"},
		{Name: "entry, by other zones", Value: (allZones.EntryBytesPerSecond - singleZone.EntryBytesPerSecond) / float64(allZones.Zones-1), Unit: "bytes/s a zone"},
		{Name: "exchange, both sides, with nothing new", Value: idleZone.MicrosPerExchange, Unit: "us an exchange"},
		{Name: "exchange, both sides, in a full zone", Value: fullZone.MicrosPerExchange, Unit: "us an exchange"},
	}
}

// documentSlopes compares the smallest and the largest document of each kind.
func documentSlopes(rows []Document) []Slope {
	smallest, largest := map[string]Document{}, map[string]Document{}
	var names []string
	for _, row := range rows {
		if _, seen := smallest[row.Name]; !seen {
			names = append(names, row.Name)
			smallest[row.Name] = row
		}
		largest[row.Name] = row
	}
	var list []Slope
	for _, name := range names {
		items := float64(largest[name].Items - smallest[name].Items)
		list = append(list,
			Slope{Name: name + ", compressed", Value: float64(largest[name].CompressedBytes-smallest[name].CompressedBytes) / items, Unit: "bytes an item"},
			Slope{Name: name + ", taken", Value: (largest[name].TakeMicros - smallest[name].TakeMicros) / items, Unit: "us an item"})
	}
	return list
}
