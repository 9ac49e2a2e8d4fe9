// Package origin is a client of the HTTP protocols of the weight store and the origin.
//
//	GET /store/versions/<version>                 200 manifest as JSON (core.Manifest); 404; 429 with Retry-After
//	GET /origin/<version>  with header Range      206 bytes of the weights; 429 with Retry-After
//
// The origin may stall, be slow, or return corrupt bytes.
package origin
