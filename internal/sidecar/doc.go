// Package sidecar runs the node beside one backend server: it takes requests
// from clients, offers them to nodes beside servers of the wanted service, and
// runs on the own server what other nodes offer.
//
// One mutex guards the tables of a node. It is never held while a frame is
// sent, a request is written or a file is read; locks of links, pools and
// clients are taken without it or after it, never before.
package sidecar
