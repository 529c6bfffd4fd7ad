package gateway

// Fingerprint is fingerprint, for tests of the package from outside.
var Fingerprint = fingerprint
