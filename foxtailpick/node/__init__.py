"""Components shared by router and sidecar processes."""
