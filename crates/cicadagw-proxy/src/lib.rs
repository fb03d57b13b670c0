//! The calls duty: takes calls, carries them on, and takes announcements of backend servers.
